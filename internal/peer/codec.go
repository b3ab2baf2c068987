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
	// maxDecompressedBytes bounds the decompressed bytes of one reply.
	maxDecompressedBytes = 8 << 20
	// maxCollectionEntries bounds the entries of each list and map in a message.
	maxCollectionEntries = 4096
)

// A raw message holds bytes that the caller of this package has encoded.
type raw struct{ body []byte }

// empty is the reply of a call that returns nothing.
type empty struct{}

// codec implements drpc.Encoding with CBOR, which needs no generated code.
type codec struct{}

var _ drpc.Encoding = codec{}

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8,
		MaxArrayElements: maxCollectionEntries, MaxMapPairs: maxCollectionEntries,
	}.DecMode()
	return must(m, err)
}()

// Marshal encodes m.
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

// Unmarshal decodes one message into m.
func (codec) Unmarshal(b []byte, m drpc.Message) error {
	if r, ok := m.(*raw); ok {
		r.body = append([]byte(nil), b...)
		return nil
	}
	if err := decodeMode.Unmarshal(b, m); err != nil {
		return BadMessage.Wrap(err, "decode %T", m)
	}
	return nil
}

// must panics if err is not nil. It is for options that are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

func newCompressor() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithWindowSize(config.MaxValueBytes))
	return must(e, err)
}

func newDecompressor() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(config.MaxValueBytes))
	return must(d, err)
}

// compressReply compresses the values of a reply.
func compressReply(p *replication.PullReply) {
	p.Manifest, p.HostList = compress(p.Manifest), compress(p.HostList)
	parts := make(map[string][]byte, len(p.Parts))
	for d, b := range p.Parts {
		parts[d] = compress(b)
	}
	p.Parts = parts
}

func compress(b []byte) []byte {
	if b == nil {
		return nil
	}
	return compressor.EncodeAll(b, nil)
}

// decompressReply reverses compressReply.
func decompressReply(p *replication.PullReply) error {
	remainingBytes := maxDecompressedBytes
	if err := decompress(&p.Manifest, &remainingBytes); err != nil {
		return err
	}
	if err := decompress(&p.HostList, &remainingBytes); err != nil {
		return err
	}
	for d, b := range p.Parts {
		if err := decompress(&b, &remainingBytes); err != nil {
			return err
		}
		p.Parts[d] = b
	}
	return nil
}

func decompress(b *[]byte, remainingBytes *int) error {
	if *b == nil {
		return nil
	}
	out, err := decompressor.DecodeAll(*b, []byte{})
	if err != nil {
		return BadMessage.Wrap(err, "cannot decompress a value of the reply")
	}
	if *remainingBytes -= len(out); *remainingBytes < 0 {
		return BadMessage.New("decompressed reply has more than %d bytes", maxDecompressedBytes)
	}
	*b = out
	return nil
}
