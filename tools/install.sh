#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the demo need.
# Does nothing if all are already installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy python3 curl
    libabsl-dev libnghttp2-dev prometheus-cpp-dev libyaml-cpp-dev libmicrohttpd-dev
    libcurl4-openssl-dev libcli11-dev libfmt-dev libboost1.81-dev doctest-dev
    libprotobuf-dev protobuf-compiler libxxhash-dev libroaring-dev librapidcheck-dev
    libbenchmark-dev libssl-dev nlohmann-json3-dev
)
missing=()
for name in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$name")
    fi
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
echo "installing: ${missing[*]}" >&2
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
