"""Load pattern: a host too busy for the interpreter's teardown at a stop.

The platform kills a process that has not ended within its grace, although it
has answered all requests and returned its holdings.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

from tests.gateway import deployments
from tests.process import test_gateway

# Stands for the teardown of a large process on a busy host.
SLOW_TEARDOWN = "import atexit, time\natexit.register(time.sleep, 4.0)\n"
GRACE_S = 5.0


async def stop_gateway(folder: pathlib.Path) -> tuple[int, float, bytes]:
    deployment = deployments.Deployment()
    await deployment.start(gateways=0)
    settings = test_gateway.make_settings(
        deployment.store_address, bounds={"grace_s": GRACE_S}
    )
    path = folder / "gateway.json"
    path.write_text(json.dumps(settings))
    (folder / "sitecustomize.py").write_text(SLOW_TEARDOWN)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(test_gateway.PROGRAM),
        str(path),
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(folder)},
    )
    assert process.stdout is not None
    lines = asyncio.ensure_future(process.stdout.read())
    try:
        await test_gateway.wait_until_ready(settings["ready"])
        signalled_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        code = await process.wait()
        return code, time.monotonic() - signalled_s, await lines
    finally:
        if process.returncode is None:
            process.kill()
        for endpoint in deployment.endpoints:
            endpoint.stop()
        deployment.store.stop()


def test_process_ends_within_its_grace_however_slow_the_teardown(
    tmp_path: pathlib.Path,
) -> None:
    code, seconds, output = asyncio.run(stop_gateway(tmp_path))
    assert code == 0
    assert seconds < GRACE_S
    # The log is written to its end.
    last = json.loads(output.splitlines()[-1])
    assert last["message_type"] == "gateway:stopped"
