package wire

import (
	"github.com/fxamacker/cbor/v2"

	"teaselring/result"
)

// MaxMessage is the largest encoded message in bytes, header included.
const MaxMessage = 1 << 20

// Limits of a message body. They bound what a faulty peer can make the decoder
// allocate.
const (
	maxNesting = 8      // EvidenceReport needs 6
	maxArray   = 10_000 // the records of the largest configuration version
	maxMap     = 32     // messages are structs of at most 16 fields
)

// headerSize is one byte of protocol version and one byte of message type.
const headerSize = 2

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	// Moves are compared by their times, so times keep nanosecond precision.
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxMap,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decoders maps a message type to the decoder of its body.
var decoders = map[uint8]func([]byte) (Message, error){
	Hello{}.messageType():          decodeAs[Hello],
	Heartbeat{}.messageType():      decodeAs[Heartbeat],
	Members{}.messageType():        decodeAs[Members],
	MembersRequest{}.messageType(): decodeAs[MembersRequest],
	ConfigOffer{}.messageType():    decodeAs[ConfigOffer],
	ConfigFetch{}.messageType():    decodeAs[ConfigFetch],
	ConfigData{}.messageType():     decodeAs[ConfigData],
	ConfigAck{}.messageType():      decodeAs[ConfigAck],
	Moves{}.messageType():          decodeAs[Moves],
	EvidenceReport{}.messageType(): decodeAs[EvidenceReport],
	Quarantine{}.messageType():     decodeAs[Quarantine],
}

func decodeAs[T Message](body []byte) (Message, error) {
	var m T
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// Encode returns the protocol version, the message type and the CBOR body.
// Messages are passed by value. Errors: result.MessageTooLarge,
// result.BadMessage.
func Encode(m Message) ([]byte, error) {
	if m == nil {
		return nil, result.BadMessage.Errorf("no message to encode")
	}
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, result.BadMessage.Errorf("message type %d: %v", m.messageType(), err)
	}
	if len(body)+headerSize > MaxMessage {
		return nil, result.MessageTooLarge.Errorf("message type %d has %d bytes; allowed are %d",
			m.messageType(), len(body)+headerSize, MaxMessage)
	}
	return append([]byte{Protocol, m.messageType()}, body...), nil
}

// Decode returns the message as a value, never as a pointer. It ignores unknown
// fields of the body, so that fields can be added within a protocol version.
// Errors: result.MessageTooLarge, result.BadMessage.
func Decode(b []byte) (Message, error) {
	if len(b) > MaxMessage {
		return nil, result.MessageTooLarge.Errorf("message has %d bytes; allowed are %d", len(b), MaxMessage)
	}
	if len(b) < headerSize {
		return nil, result.BadMessage.Errorf("message of %d bytes is shorter than its header", len(b))
	}
	if b[0] != Protocol {
		return nil, result.BadMessage.Errorf("protocol version is %d, expected %d", b[0], Protocol)
	}
	decode := decoders[b[1]]
	if decode == nil {
		return nil, result.BadMessage.Errorf("message type %d is unknown", b[1])
	}
	m, err := decode(b[headerSize:])
	if err != nil {
		return nil, result.BadMessage.Errorf("message type %d: %v", b[1], err)
	}
	return m, nil
}
