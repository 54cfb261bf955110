"""Errors of the operator configuration."""

from __future__ import annotations

from cyclamenwing import errors


class CatalogError(errors.CodedError):
    """Report that the configuration can't be used."""

    code = "catalog_error"
    status = 422


class CatalogInvalidError(CatalogError):
    """Report invalid files, with one finding a line."""

    code = "catalog_invalid"


class PublishConflictError(CatalogError):
    """Report a service that another author changed after the base revision."""

    code = "publish_conflict"
    status = 409


class AuditBrokenError(CatalogError):
    """Report a missing or altered audit record."""

    code = "audit_broken"
    status = 500


class DeltaMismatchError(CatalogError):
    """Report a delta that doesn't result in the stated revision."""

    code = "delta_mismatch"
    status = 502


class MalformedCatalogError(CatalogError):
    """Report a stored revision that can't be decoded."""

    code = "malformed_catalog"
    status = 500


__all__ = (
    "AuditBrokenError",
    "CatalogError",
    "CatalogInvalidError",
    "DeltaMismatchError",
    "MalformedCatalogError",
    "PublishConflictError",
)
