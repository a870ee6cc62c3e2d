#include <curl/curl.h>
#include <signal.h>

#include "trefoilhillctl/command.h"

int
main(int argc, char **argv)
{
	int status;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = ctl_run(argc, argv, stdout, stderr);
	curl_global_cleanup();
	return status;
}
