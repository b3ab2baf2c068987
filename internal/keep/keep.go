// Package keep lists the libraries of the design until each is in use.
package keep

import (
	// The libraries named in docs/design.md.
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alitto/pond/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-resty/resty/v2"
	_ "github.com/google/uuid"
	_ "github.com/integrii/flaggy"
	_ "github.com/joomcode/errorx"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sys/unix"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcserver"
)
