#!/bin/sh
# Compiles the stand-ins of the cases.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
javac -d ../target/review standin/*.java
