#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec python3 review/6/scenario.py
