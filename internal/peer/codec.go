package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

const (
	// MaxMessageBytes is the maximum size of an encoded message. It leaves room
	// for one value of the configuration service that does not compress, and
	// the fields around it.
	MaxMessageBytes = 5 << 18
	// maxUnpacked bounds the decompressed bytes of one reply.
	maxUnpacked = 8 << 20
	// maxEntries bounds the lists and maps of a message.
	maxEntries = 4096
)

// A raw message is encoded by its sender.
type raw struct{ body []byte }

// empty is the answer of a call that returns nothing.
type empty struct{}

// codec implements drpc.Encoding with CBOR. It needs no generated code.
type codec struct{}

var _ drpc.Encoding = codec{}

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8,
		MaxArrayElements: maxEntries, MaxMapPairs: maxEntries,
	}.DecMode()
	return must(m, err)
}()

// Marshal returns the encoded form of m.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	if r, ok := m.(*raw); ok {
		return r.body, nil
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, BadMessage.Wrap(err, "encode %T", m)
	}
	if len(b) > MaxMessageBytes {
		return nil, BadMessage.New("%T has %d bytes, the limit is %d", m, len(b), MaxMessageBytes)
	}
	return b, nil
}

// Unmarshal reads one message into m.
func (codec) Unmarshal(b []byte, m drpc.Message) error {
	if r, ok := m.(*raw); ok {
		r.body = append([]byte(nil), b...)
		return nil
	}
	if err := decoding.Unmarshal(b, m); err != nil {
		return BadMessage.Wrap(err, "decode %T", m)
	}
	return nil
}

// must is for options that are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithWindowSize(config.MaxValueBytes))
	return must(e, err)
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(config.MaxValueBytes))
	return must(d, err)
}

// pack compresses the values of a reply.
func pack(p *replication.PullReply) {
	p.Manifest, p.HostList = packed(p.Manifest), packed(p.HostList)
	parts := make(map[string][]byte, len(p.Parts))
	for d, b := range p.Parts {
		parts[d] = packed(b)
	}
	p.Parts = parts
}

func packed(b []byte) []byte {
	if b == nil {
		return nil
	}
	return encoder.EncodeAll(b, nil)
}

// unpack reverses pack.
func unpack(p *replication.PullReply) error {
	left := maxUnpacked
	if err := unpacked(&p.Manifest, &left); err != nil {
		return err
	}
	if err := unpacked(&p.HostList, &left); err != nil {
		return err
	}
	for d, b := range p.Parts {
		if err := unpacked(&b, &left); err != nil {
			return err
		}
		p.Parts[d] = b
	}
	return nil
}

func unpacked(b *[]byte, left *int) error {
	if *b == nil {
		return nil
	}
	out, err := decoder.DecodeAll(*b, []byte{})
	if err != nil {
		return BadMessage.Wrap(err, "decompress")
	}
	if *left -= len(out); *left < 0 {
		return BadMessage.New("reply has over %d bytes", maxUnpacked)
	}
	*b = out
	return nil
}
