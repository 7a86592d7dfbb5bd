"""Files under the data folder: identity, log, snapshot."""
