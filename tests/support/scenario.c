#include "support/scenario.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#define SEED_DEFAULT 1
#define TRACE_LINES_SHOWN 60

/* Returns the last TRACE_LINES_SHOWN lines of the trace. */
static const char *
last_trace_lines(const struct GbSimulation *simulation)
{
    const char *start = simulation->trace->str;
    const char *at = start + simulation->trace->len;
    uint32_t lines = 0;

    while (at > start && lines <= TRACE_LINES_SHOWN) {
        at--;
        if (*at == '\n') {
            lines++;
        }
    }
    return at == start ? at : at + 1;
}

static GScanner *
new_scanner(const char *text)
{
    GScanner *scanner = g_scanner_new(NULL);

    /* The end of a line ends a statement, so it is a token. */
    scanner->config->cset_skip_characters = " \t\r";
    scanner->config->scan_identifier_1char = TRUE;
    scanner->config->scan_float = FALSE;
    scanner->config->store_int64 = TRUE;
    g_scanner_input_text(scanner, text, (guint)strlen(text));
    return scanner;
}

static void
add_word(struct GbScenario *self, const GScanner *scanner, bool is_number)
{
    struct GbScenarioWord *word;

    if (self->word_count == GB_SCENARIO_WORDS_MAX) {
        GbScenario_Fail(self, "too many words");
        return;
    }
    word = &self->words[self->word_count++];
    word->is_number = is_number;
    if (is_number) {
        word->number = (int64_t)scanner->value.v_int64;
        g_snprintf(word->text, sizeof(word->text), "%" PRIi64, word->number);
    }
    else {
        word->number = 0;
        g_strlcpy(word->text, scanner->value.v_identifier, sizeof(word->text));
    }
}

/* Runs the statement of the line that has ended, if there is one. */
static void
finish_statement(struct GbScenario *self)
{
    if (self->word_count > 0) {
        GbScenario_RunStatement(self);
        self->word_count = 0;
    }
    if (self->failure == NULL && self->simulation.violations->len > 0) {
        GbScenario_Fail(self, "%s",
                        (char *)self->simulation.violations->pdata[0]);
    }
}

void
GbScenario_Run(struct GbScenario *self, const char *name, const char *text)
{
    GScanner *scanner = new_scanner(text);
    GTokenType token;

    memset(self, 0, sizeof(*self));
    self->name = name;
    GbSimulation_Init(&self->simulation, SEED_DEFAULT, true);
    do {
        token = g_scanner_get_next_token(scanner);
        if (self->word_count == 0) {
            self->line = scanner->line;
        }
        switch ((int)token) {
        case G_TOKEN_IDENTIFIER:
            add_word(self, scanner, false);
            break;
        case G_TOKEN_INT:
            add_word(self, scanner, true);
            break;
        case G_TOKEN_EOF:
        case '\n':
            finish_statement(self);
            break;
        default:
            GbScenario_Fail(self, "unexpected token");
            break;
        }
    } while (token != G_TOKEN_EOF && self->failure == NULL);
    if (self->failure == NULL) {
        GbSimulation_CheckFinalState(&self->simulation);
        finish_statement(self);
    }
    g_scanner_destroy(scanner);
}

void
GbScenario_Finish(struct GbScenario *self)
{
    GbSimulation_Finish(&self->simulation);
    g_free(self->failure);
}

void
GbScenario_Fail(struct GbScenario *self, const char *format, ...)
{
    va_list arguments;
    char *reason;

    if (self->failure != NULL) {
        return;
    }
    va_start(arguments, format);
    reason = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    self->failure =
        g_strdup_printf("%s:%u: %s (seed %" PRIu64 ")\nlast messages:\n%s",
                        self->name, self->line, reason, self->simulation.seed,
                        last_trace_lines(&self->simulation));
    g_free(reason);
}
