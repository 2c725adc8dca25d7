"""The ports and the configuration that tests of the job plane share."""

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
