"""Test doubles for the systems that hitchdeck talks to, and a fleet launcher.

Used by tests, soak runs and benchmarks only; not shipped.  Each stand-in
implements the published protocol of the system that it replaces, and records
what it executed, so that tests can check responses against these records.
"""
