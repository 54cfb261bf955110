"""Errors of the operators' configuration."""

from __future__ import annotations

from cyclamenwing import errors


class CatalogError(errors.CodedError):
    """Report configuration that can't be used."""

    code = "catalog_error"
    status = 422


class CatalogInvalidError(CatalogError):
    """Report files with faults, one a line."""

    code = "catalog_invalid"


class PublishConflictError(CatalogError):
    """Report a publishing that another author's change overtook."""

    code = "publish_conflict"
    status = 409


class AuditBrokenError(CatalogError):
    """Report an audit record that is missing or was changed."""

    code = "audit_broken"
    status = 500


class DeltaMismatchError(CatalogError):
    """Report a delta that doesn't lead to the stated revision."""

    code = "delta_mismatch"
    status = 502


class MalformedCatalogError(CatalogError):
    """Report a stored revision that can't be read."""

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
