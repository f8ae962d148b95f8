#!/usr/bin/env bash
# Installs every package that the build, the checks and the tests need (Debian 12).
set -euo pipefail
packages=(libabsl-dev libflatbuffers-dev libboost-dev libmicrohttpd-dev libcurl4-openssl-dev libcli11-dev
    libgoogle-glog-dev nlohmann-json3-dev librapidcheck-dev libxxhash-dev libzstd-dev libsodium-dev libgtest-dev libgmock-dev
    ccache ninja-build cmake g++ clang clang-format clang-tidy libclang-rt-14-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
