from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tests.process import fleet as process_fleet

Scenario = Callable[[process_fleet.Fleet], Awaitable[None]]
RunFleet = Callable[[Scenario, int, int], None]


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> RunFleet:
    """Return a function that runs a scenario on a new fleet."""

    def run(scenario: Scenario, chat: int, plain: int) -> None:
        async def main() -> None:
            async with process_fleet.Fleet(tmp_path, chat, plain) as fleet:
                await scenario(fleet)

        asyncio.run(main())

    return run
