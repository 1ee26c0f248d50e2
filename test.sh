#!/usr/bin/env bash
# Everything that must be green before a change lands: form, static checks,
# build and tests. Needs Go, a C compiler and the module proxy.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go build -o bin/ ./cmd/...
go test -count=1 ./...
