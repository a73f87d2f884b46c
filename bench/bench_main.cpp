#include "bench.hpp"

#include <functional>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    using namespace acaciagauge::bench;
    const std::map<std::string, std::function<void()>> benches { { "unavailable", unavailable },
        { "placement", placement }, { "admission", admission }, { "spread", spread }, { "slopes", slopes } };
    if (argc == 2 && benches.contains(argv[1])) {
        benches.at(argv[1])();
        return 0;
    }
    std::cerr << "usage: acaciagauge_bench";
    for (const auto& it : benches)
        std::cerr << " | " << it.first;
    std::cerr << '\n';
    return 1;
}
