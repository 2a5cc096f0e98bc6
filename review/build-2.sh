#!/bin/sh
# Builds the stand-ins and cases of the scripts in review/6 and higher; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java
