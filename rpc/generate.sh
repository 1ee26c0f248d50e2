#!/usr/bin/env bash
# Makes the generated code anew. The build does not need it.
set -euo pipefail
cd "$(dirname "$0")"
go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$(go env GOPATH)/bin:$PATH" protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. lynxramp.proto
