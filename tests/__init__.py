"""Tests of ibispaddle, one folder per subsystem."""
