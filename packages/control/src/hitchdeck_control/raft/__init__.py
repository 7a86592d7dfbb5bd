"""Consensus: elections, replication and membership changes.

Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014) with pre-vote, check-quorum, a leader lease and
single-server membership changes, as in Ongaro's dissertation.
"""
