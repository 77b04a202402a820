#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone; the build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/lab-2/target
javac -Xlint:all -d review/lab-2/target review/lab-2/*.java
