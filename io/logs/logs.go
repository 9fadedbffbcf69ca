package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines.
func New(w io.Writer, entry string) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp:  pair("Time"),
		FormatLevel:      pair("Level"),
		FormatFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: func(value any) string { return quoted(fmt.Sprint(value)) },
	}
	return zerolog.New(writer).With().Timestamp().Str("Entry", entry).Logger()
}

func pair(key string) zerolog.Formatter {
	return func(value any) string { return key + "=" + quoted(fmt.Sprint(value)) }
}

// quoted quotes a value that holds spaces, quotes or equal signs, unless it is quoted already.
func quoted(value string) string {
	if strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) && len(value) > 1 {
		return value
	}
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.Quote(value)
	}
	return value
}
