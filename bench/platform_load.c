#include "platform_load.h"

/*
 * Count a read request; a watch counts as well.
 */
void
platform_load_add_read(struct platform_load *load)
{
	load->current_second_reads++;
}

/*
 * End the current second and start the next one; pending_watches are the
 * watches that count as reads in the next second, too.
 */
void
platform_load_end_second(struct platform_load *load, uint64_t pending_watches)
{
	load->seconds++;
	load->total_reads += load->current_second_reads;
	if (load->current_second_reads > load->peak_reads)
		load->peak_reads = load->current_second_reads;
	load->current_second_reads = pending_watches;
}

/*
 * Return the mean number of reads per second over all ended seconds.
 */
double
platform_load_mean(const struct platform_load *load)
{
	return load->seconds == 0
	    ? 0
	    : (double)load->total_reads / (double)load->seconds;
}
