package statement

import "strings"

// The built-in functions of PostgreSQL (chapter "Functions and Operators" of its documentation). A function in neither
// list is unknown.

// writers are functions that change data or the session, take locks, or run code that is not analysed.
var writers = wordSet(`
nextval setval lastval currval set_config
pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_all pg_advisory_unlock_shared
pg_advisory_xact_lock pg_advisory_xact_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
pg_try_advisory_xact_lock pg_try_advisory_xact_lock_shared
pg_notify lo_create lo_creat lo_import lo_export lo_from_bytea lo_put lo_unlink lo_open lo_close lo_truncate
lo_truncate64 lowrite loread lo_lseek lo_lseek64 lo_tell lo_tell64 lo_get
pg_cancel_backend pg_terminate_backend pg_reload_conf pg_rotate_logfile pg_log_backend_memory_contexts
pg_create_restore_point pg_switch_wal pg_backup_start pg_backup_stop pg_start_backup pg_stop_backup pg_promote
pg_wal_replay_pause pg_wal_replay_resume pg_export_snapshot pg_log_standby_snapshot pg_sync_replication_slots
pg_create_physical_replication_slot pg_drop_replication_slot pg_create_logical_replication_slot
pg_copy_physical_replication_slot pg_copy_logical_replication_slot pg_replication_slot_advance
pg_logical_slot_get_changes pg_logical_slot_get_binary_changes pg_logical_slot_peek_changes
pg_logical_slot_peek_binary_changes pg_logical_emit_message
pg_replication_origin_create pg_replication_origin_drop pg_replication_origin_advance
pg_replication_origin_session_setup pg_replication_origin_session_reset pg_replication_origin_xact_setup
pg_replication_origin_xact_reset
pg_stat_reset pg_stat_reset_shared pg_stat_reset_single_table_counters pg_stat_reset_single_function_counters
pg_stat_reset_slru pg_stat_reset_replication_slot pg_stat_reset_subscription_stats pg_stat_clear_snapshot
pg_stat_force_next_flush pg_stat_have_stats
pg_import_system_collations brin_summarize_new_values brin_summarize_range brin_desummarize_range
gin_clean_pending_list txid_current pg_current_xact_id setseed
query_to_xml query_to_xmlschema query_to_xml_and_xmlschema cursor_to_xml cursor_to_xmlschema table_to_xml
table_to_xmlschema table_to_xml_and_xmlschema schema_to_xml schema_to_xmlschema schema_to_xml_and_xmlschema
database_to_xml database_to_xmlschema database_to_xml_and_xmlschema ts_stat ts_rewrite
pg_read_file pg_read_binary_file pg_ls_dir pg_file_write pg_file_rename pg_file_unlink pg_file_sync
dblink dblink_exec dblink_connect dblink_connect_u dblink_disconnect dblink_send_query dblink_open dblink_fetch
dblink_close pg_stat_statements_reset crosstab connectby
`)

// readers are functions that change nothing.
var readers = wordSet(`
count sum avg min max bool_and bool_or every bit_and bit_or bit_xor array_agg string_agg json_agg jsonb_agg
json_object_agg jsonb_object_agg xmlagg range_agg range_intersect_agg any_value
corr covar_pop covar_samp regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy
stddev stddev_pop stddev_samp variance var_pop var_samp mode percentile_cont percentile_disc rank dense_rank
percent_rank cume_dist grouping row_number ntile lag lead first_value last_value nth_value
abs cbrt ceil ceiling degrees div exp factorial floor gcd lcm ln log log10 min_scale mod pi power radians round scale
sign sqrt trim_scale trunc width_bucket random random_normal acos acosd asin asind atan atand atan2 atan2d cos cosd
cot cotd sin sind tan tand sinh cosh tanh asinh acosh atanh erf erfc gamma lgamma
bit_length char_length character_length lower upper octet_length length overlay position substring substr trim btrim
ltrim rtrim normalize is_normalized ascii chr concat concat_ws format initcap left right lpad rpad md5 parse_ident
quote_ident quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match regexp_matches
regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse split_part
starts_with string_to_array string_to_table strpos to_ascii to_bin to_hex to_oct translate unistr casefold
bit_count get_bit get_byte set_bit set_byte sha224 sha256 sha384 sha512 crc32 crc32c convert convert_from convert_to
encode decode to_char to_date to_number to_timestamp
age clock_timestamp date_add date_bin date_part date_subtract date_trunc extract isfinite justify_days
justify_hours justify_interval make_date make_interval make_time make_timestamp make_timestamptz now
statement_timestamp timeofday transaction_timestamp timezone current_timestamp current_time localtime
localtimestamp date time timestamp timestamptz interval
enum_first enum_last enum_range area box circle diagonal diameter height center isclosed isopen line lseg npoints
path pclose point polygon popen radius slope bound_box width
abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen macaddr8_set7bit
array_to_tsvector get_current_ts_config numnode plainto_tsquery phraseto_tsquery websearch_to_tsquery querytree
setweight strip to_tsquery to_tsvector json_to_tsvector jsonb_to_tsvector ts_delete ts_filter ts_headline ts_rank
ts_rank_cd tsquery_phrase tsvector_to_array ts_debug ts_lexize ts_parse ts_token_type
gen_random_uuid uuidv4 uuidv7 uuid_extract_timestamp uuid_extract_version uuid_generate_v1 uuid_generate_v4
xmlcomment xmlconcat xmlelement xmlforest xmlpi xmlroot xmltext xpath xpath_exists xml_is_well_formed
xml_is_well_formed_document xml_is_well_formed_content xmlparse xmlserialize xmlexists xmltable
to_json to_jsonb array_to_json row_to_json json_build_array jsonb_build_array json_build_object jsonb_build_object
json_object jsonb_object json_array json_array_elements jsonb_array_elements json_array_elements_text
jsonb_array_elements_text json_array_length jsonb_array_length json_each jsonb_each json_each_text jsonb_each_text
json_extract_path jsonb_extract_path json_extract_path_text jsonb_extract_path_text json_object_keys
jsonb_object_keys json_populate_record jsonb_populate_record json_populate_recordset jsonb_populate_recordset
json_to_record jsonb_to_record json_to_recordset jsonb_to_recordset jsonb_set jsonb_set_lax jsonb_insert
json_strip_nulls jsonb_strip_nulls jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array
jsonb_path_query_first jsonb_path_exists_tz jsonb_path_match_tz jsonb_path_query_tz jsonb_path_query_array_tz
jsonb_path_query_first_tz jsonb_pretty json_typeof jsonb_typeof json_exists json_query json_value json_table
json_scalar json_serialize json json_arrayagg json_objectagg
coalesce nullif greatest least num_nonnulls num_nulls
array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_reverse array_sample array_shuffle array_sort array_to_string
array_upper cardinality trim_array unnest generate_series generate_subscripts
isempty lower_inc upper_inc lower_inf upper_inf range_merge multirange int4range int8range numrange tsrange
tstzrange daterange int4multirange int8multirange nummultirange tsmultirange tstzmultirange datemultirange
current_catalog current_database current_query current_role current_schema current_schemas current_user
inet_client_addr inet_client_port inet_server_addr inet_server_port pg_backend_pid pg_blocking_pids
pg_conf_load_time pg_current_logfile pg_my_temp_schema pg_is_other_temp_schema pg_jit_available
pg_listening_channels pg_notification_queue_usage pg_postmaster_start_time pg_safe_snapshot_blocking_pids
pg_trigger_depth session_user system_user user version
has_any_column_privilege has_column_privilege has_database_privilege has_foreign_data_wrapper_privilege
has_function_privilege has_language_privilege has_parameter_privilege has_schema_privilege has_sequence_privilege
has_server_privilege has_table_privilege has_tablespace_privilege has_type_privilege pg_has_role row_security_active
pg_collation_is_visible pg_conversion_is_visible pg_function_is_visible pg_opclass_is_visible
pg_operator_is_visible pg_table_is_visible pg_ts_config_is_visible pg_type_is_visible
format_type pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_function_arguments
pg_get_function_identity_arguments pg_get_function_result pg_get_indexdef pg_get_keywords pg_get_partkeydef
pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef pg_get_triggerdef pg_get_userbyid pg_get_viewdef
pg_index_column_has_property pg_index_has_property pg_indexam_has_property pg_options_to_table pg_settings_get_flags
pg_tablespace_databases pg_tablespace_location pg_typeof to_regclass to_regcollation to_regnamespace to_regoper
to_regoperator to_regproc to_regprocedure to_regrole to_regtype col_description obj_description shobj_description
txid_current_if_assigned txid_current_snapshot txid_snapshot_xip txid_snapshot_xmax txid_snapshot_xmin
txid_visible_in_snapshot txid_status pg_current_xact_id_if_assigned pg_xact_status pg_current_snapshot
pg_visible_in_snapshot current_setting
pg_column_size pg_column_compression pg_database_size pg_indexes_size pg_relation_size pg_size_bytes pg_size_pretty
pg_table_size pg_tablespace_size pg_total_relation_size pg_relation_filenode pg_relation_filepath
pg_is_in_recovery pg_last_wal_receive_lsn pg_last_wal_replay_lsn pg_last_xact_replay_timestamp
pg_is_wal_replay_paused pg_current_wal_lsn pg_current_wal_insert_lsn pg_current_wal_flush_lsn pg_wal_lsn_diff
pg_walfile_name pg_walfile_name_offset pg_sleep pg_sleep_for pg_sleep_until
int2 int4 int8 float4 float8 numeric bool text bytea varchar bpchar regclass regproc oid hashtext hashtextextended
similarity word_similarity show_trgm levenshtein soundex metaphone dmetaphone difference unaccent crypt_verify
`)

// reserved are the keywords that can name neither a function nor, without AS, an alias (appendix "SQL Key Words":
// reserved, and those that cannot be function or type names). A bracket after one does not open a call.
var reserved = wordSet(`
all analyse analyze and any array as asc asymmetric both case cast check collate column constraint create
current_catalog
current_date current_role current_time current_timestamp current_user default deferrable desc distinct do else end
except false fetch for foreign from grant group having in initially intersect into lateral leading limit localtime
localtimestamp not null offset on only or order placing primary references returning select session_user some symmetric
system_user table then to trailing true union unique user using variadic when where window with
between bigint bit boolean char character coalesce dec decimal exists extract float greatest grouping inout int integer
interval json json_array json_arrayagg json_exists json_object json_objectagg json_query json_scalar json_serialize
json_table json_value least merge_action national nchar none normalize nullif numeric out overlay position precision
real
row setof smallint substring time timestamp treat trim values varchar xmlattributes xmlconcat xmlelement xmlexists
xmlforest xmlnamespaces xmlparse xmlpi xmlroot xmlserialize xmltable
`)

// infix words may be names of functions; after an operand they are syntax, and a bracket after them does not open a
// call.
var infix = wordSet(`
join like ilike overlaps escape over filter columns is isnull notnull similar collation cross natural inner
left right full outer tablesample ordinality
`)

// wordsAfter lists, for a word, those after which it is syntax and a bracket after it does not open a call.
var wordsAfter = map[string]map[string]bool{
	"by": wordSet("group order partition"), "materialized": wordSet("as not"),
	"rollup": wordSet("by"), "cube": wordSet("by"),
	"sets": wordSet("grouping"), "first": wordSet("fetch"), "next": wordSet("fetch"),
	"bernoulli": wordSet("tablesample"),
	"system":    wordSet("tablesample"), "recursive": wordSet("with"), "zone": wordSet("time"),
	"varying": wordSet("bit char character nchar"),
}

// joins are the words that JOIN may follow.
var joins = wordSet("cross natural inner left right full outer")

// wordSet returns the set of the words of a list.
func wordSet(list string) map[string]bool {
	m := map[string]bool{}
	for _, n := range strings.Fields(list) {
		m[n] = true
	}
	return m
}

// Builtin returns what the catalogue knows of a built-in function: ByFunction if it writes, Surely if it only reads,
// else ByUnknown.
func Builtin(name string) Why {
	switch {
	case writers[name]:
		return ByFunction
	case readers[name]:
		return Surely
	}
	return ByUnknown
}
