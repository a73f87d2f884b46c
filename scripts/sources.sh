# Defines a function that lists the C++ files of the project; to be sourced.
sources()
{
    git ls-files -co --exclude-standard '*.cpp' '*.hpp'
}
