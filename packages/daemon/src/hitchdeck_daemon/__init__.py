"""The ``hitchdeckd`` process."""
