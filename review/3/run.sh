#!/bin/sh
cd "$(dirname "$0")" && exec timeout 118 python3 run.py
