package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	// OperationPrefix is the prefix of an operation id that a node issued.
	OperationPrefix = "op_"
	// OperationLifetime is how long after its issue an id is valid for a first call.
	OperationLifetime = time.Hour
	// operationParts is the number of parts of an id: node, incarnation, uuid, mac.
	operationParts = 4
	// macBytes is the length of the signature.
	macBytes = 16
)

// ErrInvalidOperation means that an operation id was not issued to this workspace.
var ErrInvalidOperation = errors.New("the operation id was not issued to this workspace")

// Holder is the one incarnation of a node that may send an operation.
type Holder struct {
	// Node id.
	Node string
	// Incarnation of the process.
	Incarnation string
}

// Operation is an operation id, which is bound to its holder.
type Operation struct {
	// ID as the caller presents it.
	ID string
	// Holder that issued the id.
	Holder Holder
	// IssuedAt is when the id was issued, by the holder's clock.
	IssuedAt time.Time
}

// NewOperation returns an operation of a workspace. unique is a UUID of version 7,
// which carries the time of issue.
func NewOperation(holder Holder, workspace string, unique uuid.UUID, key []byte) Operation {
	text := holder.Node + "." + holder.Incarnation + "." + unique.String()
	return Operation{
		ID:       OperationPrefix + text + "." + sign(text, workspace, key),
		Holder:   holder,
		IssuedAt: timeOf(unique),
	}
}

// ParseOperation checks that an id was issued to a workspace by a node with the key.
func ParseOperation(id, workspace string, key []byte) (Operation, error) {
	text, prefixed := strings.CutPrefix(id, OperationPrefix)
	parts := strings.Split(text, ".")
	if !prefixed || len(parts) != operationParts {
		return Operation{}, ErrInvalidOperation
	}
	signed := strings.Join(parts[:operationParts-1], ".")
	if !hmac.Equal([]byte(parts[operationParts-1]), []byte(sign(signed, workspace, key))) {
		return Operation{}, ErrInvalidOperation
	}
	unique, err := uuid.Parse(parts[2])
	if err != nil {
		return Operation{}, ErrInvalidOperation
	}
	return Operation{ID: id, Holder: Holder{Node: parts[0], Incarnation: parts[1]}, IssuedAt: timeOf(unique)}, nil
}

// sign returns the signature of an id. It covers the workspace, so that no other one can
// use the id.
func sign(text, workspace string, key []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write(digest("operation", text, workspace).Sum(nil))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}

func timeOf(unique uuid.UUID) time.Time {
	seconds, nanos := unique.Time().UnixTime()
	return time.Unix(seconds, nanos)
}
