#include "platform_load.h"

/*
 * Count a request, a watch included.
 */
void
platform_load_read(struct platform_load *load)
{
	load->this_second++;
}

/*
 * Close one second.
 */
void
platform_load_end_second(struct platform_load *load, uint64_t waiting)
{
	load->seconds++;
	load->total += load->this_second;
	if (load->this_second > load->peak)
		load->peak = load->this_second;
	load->this_second = waiting;
}

/*
 * Return the reads a second over all seconds that were closed.
 */
double
platform_load_mean(const struct platform_load *load)
{
	return load->seconds == 0 ? 0
				  : (double)load->total / (double)load->seconds;
}
