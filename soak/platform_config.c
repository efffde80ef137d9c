/* Configurations that the operator puts. */
#include "soak/platform.h"

#define PUT_TIMEOUT_MS 2000
#define PUT_INTERVAL_US 100000
#define PUT_ROUNDS 20

#define ROUTE                                                             \
	"{\"name\":\"%s\",\"host\":\"" PLATFORM_HOST "\",\"pathPrefix\":" \
	"\"%s\",\"kind\":\"%s\",\"timeoutMs\":%d,\"targetLatencyMs\":"    \
	"%d,\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2,"         \
	"\"authExempt\":false%s}"

#define ENGINE                                                               \
	"{\"slots\":26,\"kvCapTokens\":1400000,\"kvTokenBytes\":35136,"      \
	"\"linkMbps\":400000.0,\"stride\":%d,\"models\":[{\"name\":\"big\"," \
	"\"size\":4,\"share\":0.67,\"pace\":1.0,\"loadS\":1.6,\"warmS\":"    \
	"0.16},{\"name\":\"small\",\"size\":2,\"share\":0.33,\"pace\":1.0,"  \
	"\"loadS\":1.6,\"warmS\":0.16}],\"step_ms\":6.0,\"per_seq_ms\":"     \
	"0.25,\"context_per_k\":0.005,\"read_per_s\":46000.0,"               \
	"\"pairs_per_m\":0.0,\"chunk\":2048,\"report_lag_ms\":200.0,"        \
	"\"loadsPerS\":4.0,\"loads_at_once\":6,\"delays\":[],\"usual\":"     \
	"{\"prompt\":1100,\"answer\":130},\"keeps\":1,\"far_x\":3.0,"        \
	"\"formMs\":300.0}"

static char *config_text(int version, int stride)
{
	char *name = g_strdup_printf("r-v%d", version);
	char *prefix = g_strdup_printf("/v%d/", version);
	char *stream = g_strdup_printf(",\"sticky\":true,\"streamResume\":true,"
				       "\"targetGapMs\":%d",
				       PLATFORM_GAP_MS);
	char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[" ROUTE "," ROUTE "," ROUTE
		"," ROUTE "],\"services\":[{\"name\":\"models\","
		"\"healthPath\":\"/health\",\"maxConns\":414,\"protocol\":"
		"\"h1\",\"tls\":false,\"engine\":" ENGINE "},{\"name\":\"web\""
		",\"healthPath\":\"/health\",\"maxConns\":464,\"protocol\":"
		"\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
		"\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","
		"\"apiKeys\":[\"" PLATFORM_KEY "\"]}]}",
		version, "r-chat", "/chat/", "streaming", PLATFORM_STREAM_MS,
		PLATFORM_TARGET_MS, "models", stream, "r-web", "/web/", "safe",
		PLATFORM_CALL_MS, PLATFORM_TARGET_MS, "web", "", "r-book",
		"/book/", "unsafe", PLATFORM_CALL_MS, PLATFORM_TARGET_MS, "web",
		"", name, prefix, "safe", PLATFORM_CALL_MS, PLATFORM_TARGET_MS,
		"web", "", stride);

	g_free(name);
	g_free(prefix);
	g_free(stream);
	return text;
}

bool platform_put_config(const struct soak *soak, int version)
{
	char *text = config_text(version, soak->opts.platform.stride);
	bool accepted = false;

	for (int i = 0; i < PUT_ROUNDS * PLATFORM_CONTROL_VMS && !accepted;
	     i++) {
		int vm = (version + i) % PLATFORM_CONTROL_VMS;
		struct fetch_request request = {
			.address = soak->cluster->nodes[vm].operators,
			.method = "POST",
			.path = "/v1/config/put",
			.type = "application/json",
			.body = text,
			.body_size = -1,
			.timeout_ms = PUT_TIMEOUT_MS,
		};
		struct fetch_response answer;

		accepted = fetch(&request, &answer) && answer.status == 200;
		fetch_clear(&answer);
		if (!accepted)
			g_usleep(PUT_INTERVAL_US);
	}
	g_free(text);
	return accepted;
}
