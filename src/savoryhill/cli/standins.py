"""Commands that run a stand-in of a system outside savoryhill."""

import json
import signal
import sys

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_OK, deferred
from savoryhill.errors import SettingsError


@SetParseFn(str)
def platform(settings):
    """Run the stand-in of the platform: key-value service and host list.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML file with ``listen`` and ``hosts``, a list of mappings with ``node``,
        ``address``, ``zone``, ``state`` and ``admin``.
    """
    return deferred(lambda: _run_stand_in(_build_platform, settings))


@SetParseFn(str)
def engine(settings):
    """Run the stand-in of a model engine.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML file with ``listen``, ``id``, ``model``, ``prefill_tokens_per_s``,
        ``decode_tokens_per_s``, ``memory_tokens``, ``slots`` and ``seed``, the seed
        of the random numbers that its faults use.
    """
    return deferred(lambda: _run_stand_in(_build_engine, settings))


@SetParseFn(str)
def service(settings):
    """Run the stand-in of a plain service.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML file with ``listen``, ``id`` and ``delay_s``.
    """
    return deferred(lambda: _run_stand_in(_build_service, settings))


STANDINS = {"platform": platform, "engine": engine, "service": service}


def _check_required(values, path, *required):
    """Check that required settings are present, and remove ``listen``."""
    missing = [name for name in ("listen", *required) if values.get(name) is None]
    if missing:
        raise SettingsError(f"{path}: missing setting {', '.join(missing)}")
    del values["listen"]


def _build_platform(values, path):
    from savoryhill.standins.platform import PlatformState, platform_application

    _check_required(values, path)
    hosts = {host["node"]: host for host in values.pop("hosts", ())}
    return platform_application(PlatformState(hosts_by_node=hosts, **values))


def _build_engine(values, path):
    import time
    from random import Random

    import gevent

    from savoryhill.standins.engine import EngineState, engine_application, run_engine

    _check_required(values, path, "id", "model", "memory_tokens", "slots")
    random = Random(values.pop("seed", 0))
    state = EngineState(clock=time.monotonic, random=random, **values)
    gevent.spawn(run_engine, state)
    return engine_application(state)


def _build_service(values, path):
    from savoryhill.standins.service import ServiceState, service_application

    _check_required(values, path, "id")
    return service_application(ServiceState(**values))


def _run_stand_in(build, path):
    import gevent
    from gevent.event import Event

    from savoryhill.httpapp import serve
    from savoryhill.node.settings import load_mapping

    values = load_mapping(path)
    listen = values.pop("listen", None)
    try:
        application = build({"listen": listen, **values}, path)
    except TypeError as error:
        raise SettingsError(f"{path}: {error}") from error
    server, address = serve(application, listen)
    sys.stdout.write(json.dumps({"listening": address}) + "\n")
    sys.stdout.flush()
    stopped = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stopped.set)
    stopped.wait()
    server.stop(timeout=0.2)
    return EXIT_OK
