"""Files in the data folder: identity, log and snapshot."""
