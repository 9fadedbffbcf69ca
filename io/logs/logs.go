package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines to w and adds the entry's name to each.
func New(w io.Writer, entry string) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp:  formatPair("Time"),
		FormatLevel:      formatPair("Level"),
		FormatFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: func(value any) string { return quoteValue(fmt.Sprint(value)) },
	}
	return zerolog.New(writer).With().Timestamp().Str("Entry", entry).Logger()
}

func formatPair(key string) zerolog.Formatter {
	return func(value any) string { return key + "=" + quoteValue(fmt.Sprint(value)) }
}

// quoteValue quotes a value that is empty or contains white space, quotes or equal signs, unless it is quoted already.
func quoteValue(value string) string {
	if strings.HasPrefix(value, `"`) && strings.HasSuffix(value, `"`) && len(value) > 1 {
		return value
	}
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.Quote(value)
	}
	return value
}
