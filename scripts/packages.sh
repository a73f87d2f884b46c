#!/usr/bin/env bash
# Installs the missing ones of the Debian packages in .ci/packages.txt.
set -u
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
    dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
done <.ci/packages.txt
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
if ! command -v apt-get >/dev/null || [ "$(id -u)" -ne 0 ]; then
    echo "missing Debian packages: ${missing[*]}; install them as root with apt-get" >&2
    exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq && apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null || {
    echo "installation of these packages failed: ${missing[*]}" >&2
    exit 1
}
