#!/bin/sh
exec sh "$(dirname "$0")/../lab-2/run-case.sh" late-heartbeat "$(cd "$(dirname "$0")" && pwd)"
