"""Tests of the configuration packages of core and daemon."""
