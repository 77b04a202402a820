#!/usr/bin/env bash
# Builds the stand-ins and the test callers of the scripts in review/, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/.target
mkdir -p review/.target
javac -nowarn -d review/.target review/*.java review/[1-5]/*.java
