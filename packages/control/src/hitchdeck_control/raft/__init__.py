"""Agreement: elections, replication, membership.

The Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", USENIX ATC 2014) with pre-vote, check-quorum, a leader
lease, and one membership change at a time, as in Ongaro's dissertation.
"""
