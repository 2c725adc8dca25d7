"""The ports, settings and processes that tests of the job plane share."""

import json
import os

from fleet import Process

CONTROL_PORT, CALLERS_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18180, 18183, 18184, 18460, 18461

CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "weigh", "host": "farm.example", "pathPrefix": "/weigh/", "kind": "non_idempotent",
                "timeoutMs": 3000, "targetLatencyMs": 250, "priority": 0, "service": "filling", "maxAttempts": 2,
                "slackFactor": 1.5, "public": True}],
    "services": [{"name": "filling", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                  "admissionCheck": False, "standby": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [],
}


def settings_of(kind, name, host, cores, folder, grace_s, job_settings=None):
    """The settings of a core or front instance that starts for the first time."""
    text = f"""instance:
  id: {name}
  data_centre: dc1
  peer_address: {host}:{PEER_PORT}
metrics_address: {host}:{METRICS_PORT}
seeds: {json.dumps([f"{it}:{CONTROL_PORT}" for it in cores])}
stop_grace_s: {grace_s}
"""
    if kind == "front":
        return text + f"callers_address: {host}:{CALLERS_PORT}\nready_address: {host}:{READY_PORT}\n"
    return text + f"control_address: {host}:{CONTROL_PORT}\ndata_folder: {folder}/{name}\n" \
                  "first_start: true\ntolerated_losses: 1\njobs:\n  advice_address: \"\"\n" \
        + "".join(f"  {key}: {value}\n" for key, value in (job_settings or {}).items())


def start_instances(build, folder, cores, fronts, grace_s, job_settings=None):
    """Starts core-1, front-1 and so on at these addresses; returns the processes by name."""
    processes = {}
    for kind, hosts in (("core", cores), ("front", fronts)):
        for n, host in enumerate(hosts):
            name = f"{kind}-{n + 1}"
            settings = os.path.join(folder, f"{name}.yaml")
            with open(settings, "w", encoding="utf-8") as out:
                out.write(settings_of(kind, name, host, cores, folder, grace_s, job_settings))
            command = [os.path.join(build, f"teasel-{kind}"), settings]
            processes[name] = Process(name, command, os.path.join(folder, f"{name}.log"))
            processes[name].start()
    return processes
