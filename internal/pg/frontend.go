package pg

import "encoding/binary"

// Types of the messages that a client sends.
const (
	frontendQuery        messageType = 'Q'
	frontendTerminate    messageType = 'X'
	frontendParse        messageType = 'P'
	frontendBind         messageType = 'B'
	frontendDescribe     messageType = 'D'
	frontendExecute      messageType = 'E'
	frontendClose        messageType = 'C'
	frontendSync         messageType = 'S'
	frontendFlush        messageType = 'H'
	frontendFunctionCall messageType = 'F'
	frontendCopyData     messageType = 'd'
	frontendCopyDone     messageType = 'c'
	frontendCopyFail     messageType = 'f'
)

// Codes at the start of the body of an untyped message: a request code or the protocol version.
const (
	requestCancel   = 80877102
	requestSSL      = 80877103
	requestGSS      = 80877104
	protocolMajor   = 3
	protocolVersion = protocolMajor << majorShift // 3.0
	majorShift      = 16                          // the major version is in the upper half
)

// Parameters of a startup message.
const (
	parameterUser        = "user"
	parameterDatabase    = "database"
	parameterApplication = "application_name"
)

// AppendQuery appends a Query message whose text is the concatenation of the parts.
func AppendQuery(dst []byte, parts ...string) []byte {
	return appendMessage(dst, frontendQuery, func(body []byte) []byte {
		for _, part := range parts {
			body = append(body, part...)
		}
		return append(body, 0)
	})
}

// AppendStartup appends a StartupMessage of protocol version 3.0.
func AppendStartup(dst []byte, user, database string) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0) // the length, set below
	dst = binary.BigEndian.AppendUint32(dst, protocolVersion)
	dst = appendString(appendString(dst, parameterUser), user)
	dst = appendString(appendString(dst, parameterDatabase), database)
	dst = append(dst, 0)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}
