"""Publication of operators' files as a new revision."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.catalog import validation
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

CHAIN_NAME = "catalog"
# Number of tries to commit a revision while other writers change the head.
MAX_ATTEMPTS = 32
# Number of removed services that the head keeps.
MAX_REMOVED = 256


class UnchangedError(Exception):
    """Report that a publication would change nothing.

    :param head: the current head
    """

    def __init__(self, head: types.Head) -> None:
        super().__init__("unchanged")
        self.head = head


class Publisher:
    """Publish files and removals as one revision.

    :param store: the platform's key-value service
    :param files: files to publish
    :param removals: names of services to remove
    :param change: author, origin and time for the audit records
    :param commit_id: id of this publication; a repetition has the same
    :param base_revision: revision that the files are based on; None skips
        the check for conflicting changes
    """

    def __init__(
        self,
        store: protocol.Store,
        files: Iterable[types.ServiceFile],
        removals: Collection[str],
        change: audit.Change,
        commit_id: str,
        base_revision: int | None,
    ) -> None:
        self._store = store
        self._files = {file["service"]: file for file in files}
        self._chunks = {
            service: msgspec.json.encode(file)
            for service, file in self._files.items()
        }
        self._digests = {
            service: hashlib.sha256(chunk).hexdigest()
            for service, chunk in self._chunks.items()
        }
        self._removals = removals
        self._change = change
        self._commit_id = commit_id
        self._base_revision = base_revision
        self._files_by_digest = {
            self._digests[service]: file
            for service, file in self._files.items()
        }

    async def publish(self) -> types.Head:
        """Commit the revision and return the resulting head.

        A repetition under the same `commit_id` adds no second revision.
        """
        for service, chunk in self._chunks.items():
            key = keys.name_chunk(self._digests[service])
            await segments.write_once(self._store, key, chunk)
        try:
            result = await commits.commit(
                self._store,
                keys.CATALOG_HEAD,
                revisions.HeadCodec(),
                self._commit_id,
                self._apply,
                MAX_ATTEMPTS,
                self._prepare,
            )
        except UnchangedError as err:
            return err.head
        return result.document

    async def _prepare(self, head: types.Head) -> None:
        changed = self._list_changed(head)
        if not changed:
            raise UnchangedError(head)
        self._check_base(head, changed)
        old_services = await self._read_services(head)
        new_services = {**old_services, **self._files}
        for service in self._removals:
            new_services.pop(service, None)
        findings = validation.check_revision_change(old_services, new_services)
        if findings:
            lines = "\n".join(str(finding) for finding in findings)
            raise errors.CatalogInvalidError(
                f"inconsistent with revision {head['revision']}:\n{lines}"
            )
        await segments.store_segments(self._store, CHAIN_NAME, head)

    def _apply(self, head: types.Head) -> None:
        changed = self._list_changed(head)
        segments.drop_stored(head)
        head["revision"] += 1
        for service in changed:
            self._apply_service(head, service)
        audit.record_commit(head, self._commit_id)

    def _apply_service(self, head: types.Head, service: str) -> None:
        old_ref = head["services"].pop(service, None)
        ref: types.ServiceRef = {
            "digest": self._digests.get(service, ""),
            "revision": head["revision"],
            "author": self._change.author,
        }
        refs = head["services"] if ref["digest"] else head["removed"]
        refs[service] = ref
        if ref["digest"]:
            head["removed"].pop(service, None)
        while len(head["removed"]) > MAX_REMOVED:
            del head["removed"][next(iter(head["removed"]))]
        service_change = self._change._replace(
            subject=service, before=old_ref, after=ref
        )
        audit.append_record(head, service_change, self._commit_id)

    def _list_changed(self, head: types.Head) -> list[str]:
        refs = head["services"]
        changed = [
            service
            for service, digest in self._digests.items()
            if service not in refs or refs[service]["digest"] != digest
        ]
        removed = [service for service in self._removals if service in refs]
        return [*changed, *removed]

    def _check_base(self, head: types.Head, changed: list[str]) -> None:
        if self._base_revision is None:
            return
        for service in changed:
            ref = head["services"].get(service)
            ref = ref or head["removed"].get(service)
            if ref is not None and ref["revision"] > self._base_revision:
                raise errors.PublishConflictError(
                    _describe_conflict(head, service, ref)
                )

    async def _read_services(
        self, head: types.Head
    ) -> dict[str, types.ServiceFile]:
        await revisions.read_chunks(
            self._store, head["services"], self._files_by_digest
        )
        return {
            service: self._files_by_digest[ref["digest"]]
            for service, ref in head["services"].items()
        }


async def publish_files(
    store: protocol.Store,
    files: Iterable[types.ServiceFile],
    change: audit.Change,
    commit_id: str,
    base_revision: int | None = None,
    removals: Collection[str] = (),
) -> types.Head:
    """Publish files as one revision with one audit record a service.

    Files that equal the active ones change nothing.

    :raises PublishConflictError: if a published service has changed after
        `base_revision`
    :raises CatalogInvalidError: if the files are inconsistent with the
        active revision
    """
    publisher = Publisher(
        store, files, removals, change, commit_id, base_revision
    )
    return await publisher.publish()


def _describe_conflict(
    head: types.Head, service: str, ref: types.ServiceRef
) -> str:
    action = "changed" if ref["digest"] else "removed"
    records = [
        record
        for record in head["audit"]
        if record["subject"] == service and record["after"] == ref
    ]
    origin = f" from {records[-1]['origin']!r}" if records else ""
    return (
        f"{service!r} was {action} by {ref['author']!r}{origin} in revision"
        f" {ref['revision']}; show the change with"
        f" `audit --service {service} --diff {ref['revision']}`"
    )


__all__ = (
    "CHAIN_NAME",
    "Publisher",
    "publish_files",
)
