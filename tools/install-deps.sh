#!/bin/bash
# Installs those Debian packages needed by the build that are missing.
set -euo pipefail
packages=(
  cmake make gcc pkg-config clang-format clang-tidy
  libevent-dev libmsgpack-dev libargtable2-dev liblog4c-dev libglib2.0-dev
  libjansson-dev libxxhash-dev libsodium-dev libgsl-dev
  libexpat1-dev libpcre2-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update
  DEBIAN_FRONTEND=noninteractive apt-get install -y "${missing[@]}"
fi
