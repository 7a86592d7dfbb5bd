"""The ``hitchdeckd`` daemon."""
