package pg

// SQLSTATE codes that are sent to clients or that routing depends on.
// Source: https://www.postgresql.org/docs/16/errcodes-appendix.html; the databases define 72000 themselves.
const (
	CodeProtocol           = "08P01" // protocol_violation
	CodeUnsupported        = "0A000" // feature_not_supported
	CodeBadValue           = "22023" // invalid_parameter_value
	CodeReadOnly           = "25006" // read_only_sql_transaction: the database is not the primary
	CodeSyntax             = "42601" // syntax_error
	CodeTooManyConnections = "53300" // too_many_connections: overloaded, the statement was not run
	CodeTooLarge           = "54000" // program_limit_exceeded
	CodeQueryCanceled      = "57014" // query_canceled
	CodeShutdown           = "57P01" // admin_shutdown
	CodeCannotConnectNow   = "57P03" // cannot_connect_now
	CodeSystemError        = "58000" // system_error
	CodeSnapshotTooOld     = "72000" // snapshot_too_old: the replica lags behind the position that the read requires
)

// Severities of an ErrorResponse. After FATAL and PANIC the database closes the connection.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
	SeverityPanic = "PANIC"
)
