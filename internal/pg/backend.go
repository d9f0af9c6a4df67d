package pg

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Types of the messages that a database sends.
const (
	backendAuthentication       messageType = 'R'
	backendKeyData              messageType = 'K'
	backendParameterStatus      messageType = 'S'
	backendReadyForQuery        messageType = 'Z'
	backendRowDescription       messageType = 'T'
	backendDataRow              messageType = 'D'
	backendCommandComplete      messageType = 'C'
	backendEmptyQueryResponse   messageType = 'I'
	backendErrorResponse        messageType = 'E'
	backendNoticeResponse       messageType = 'N'
	backendNotificationResponse messageType = 'A'
	backendNoData               messageType = 'n'
)

const (
	authenticationOK = 0   // the code of an Authentication message that reports success
	transactionIdle  = 'I' // the status in ReadyForQuery outside a transaction
	encryptionDenied = 'N' // the single byte that denies a request for SSL or GSS encryption
)

// Types of the fields of an ErrorResponse.
const (
	fieldSeverity          = 'S' // may be translated
	fieldSeverityInvariant = 'V'
	fieldCode              = 'C'
	fieldMessage           = 'M'
	fieldDetail            = 'D'
)

// AppendReady appends a ReadyForQuery message for a connection outside a transaction.
func AppendReady(dst []byte) []byte {
	return appendMessage(dst, backendReadyForQuery, func(body []byte) []byte { return append(body, transactionIdle) })
}

// AppendError appends an ErrorResponse with a severity and an SQLSTATE. An empty detail is omitted.
func AppendError(dst []byte, severity, code, message, detail string) []byte {
	return appendMessage(dst, backendErrorResponse, func(body []byte) []byte {
		body = appendString(append(body, fieldSeverity), severity)
		body = appendString(append(body, fieldSeverityInvariant), severity)
		body = appendString(append(body, fieldCode), code)
		body = appendString(append(body, fieldMessage), message)
		if detail != "" {
			body = appendString(append(body, fieldDetail), detail)
		}
		return append(body, 0)
	})
}

// AppendFailure appends an ErrorResponse with an SQLSTATE, and a ReadyForQuery for the next query.
func AppendFailure(dst []byte, code, message string) []byte {
	return AppendReady(AppendError(dst, SeverityError, code, message, ""))
}

// AppendRejection appends the rejection of a statement that was not run, and a ReadyForQuery. The detail of the error
// is the Retry-After in milliseconds, rounded up.
func AppendRejection(dst []byte, after time.Duration) []byte {
	milliseconds := int64((after + time.Millisecond - 1) / time.Millisecond)
	detail := strconv.FormatInt(milliseconds, 10)
	const message = "refused: nothing was run, try again"
	return AppendReady(AppendError(dst, SeverityError, CodeTooManyConnections, message, detail))
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	return appendMessage(dst, backendParameterStatus, func(body []byte) []byte {
		return appendString(appendString(body, name), value)
	})
}

// AppendValue appends a complete answer, including ReadyForQuery, whose result is one row with one column.
func AppendValue(dst []byte, value string) []byte {
	dst = appendMessage(dst, backendRowDescription, appendValueDescription)
	dst = appendMessage(dst, backendDataRow, func(body []byte) []byte {
		body = binary.BigEndian.AppendUint16(body, 1)
		body = binary.BigEndian.AppendUint32(body, uint32(len(value)))
		return append(body, value...)
	})
	return AppendReady(appendCommandComplete(dst, "SELECT 1"))
}

// appendValueDescription appends the body of a RowDescription with one column of type bytea.
func appendValueDescription(body []byte) []byte {
	const (
		byteaOID       = 17
		variableLength = 0xffff     // -1
		noModifier     = 0xffffffff // -1
		binaryFormat   = 1
	)
	body = binary.BigEndian.AppendUint16(body, 1)
	body = appendString(body, "val")
	body = append(body, 0, 0, 0, 0, 0, 0) // table OID and column number: not the column of a table
	body = binary.BigEndian.AppendUint32(body, byteaOID)
	body = binary.BigEndian.AppendUint16(body, variableLength)
	body = binary.BigEndian.AppendUint32(body, noModifier)
	return binary.BigEndian.AppendUint16(body, binaryFormat)
}

// AppendComplete appends the CommandComplete message of a statement that is answered without a database. See
// ChangesConnectionStateOnly.
func AppendComplete(dst []byte, sql string) []byte { return appendCommandComplete(dst, verb(sql)) }

// appendCommandComplete appends a CommandComplete with a command tag.
func appendCommandComplete(dst []byte, tag string) []byte {
	return appendMessage(dst, backendCommandComplete, func(body []byte) []byte { return appendString(body, tag) })
}
