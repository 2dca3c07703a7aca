#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < tools/packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
