"""Tests across packages."""
