#include <math.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "trefoilhill-load/call.h"
#include "trefoilhill-load/sender.h"

enum {
	EVENTS_MAX = 64,
	NS_PER_S = 1000000000,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	WAIT_MAX_S = 1,
};

static int
handle_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *assigned)
{
	struct sender *sender = arg;
	struct epoll_event event = { .data.fd = fd };

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(sender->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	epoll_ctl(sender->epoll,
	    assigned == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
	curl_multi_assign(sender->multi, fd, sender);
	return 0;
}

static int
handle_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct sender *sender = arg;

	sender->timer_set = timeout_ms >= 0;
	if (sender->timer_set)
		sender->timer_at =
		    timespec_plus_ms(clock_now(sender->clock), timeout_ms);
	return 0;
}

/*
 * Returns a sender for the requests first, first + stride and so on, to be
 * freed with sender_free. The options and the plan are borrowed.
 */
struct sender *
sender_new(const struct load_options *options, struct plan *plan,
    struct timespec start, size_t first, size_t stride)
{
	struct sender *sender = g_new0(struct sender, 1);

	sender->options = options;
	sender->plan = plan;
	sender->clock = clock_system();
	sender->start = start;
	sender->next = first;
	sender->stride = stride;
	sender->multi = curl_multi_init();
	sender->epoll = epoll_create1(EPOLL_CLOEXEC);
	sender->idle =
	    g_ptr_array_new_with_free_func((GDestroyNotify)call_free);
	sender->result =
	    result_new((size_t)ceil(options->duration_s), options->kinds->len);
	curl_multi_setopt(
	    sender->multi, CURLMOPT_SOCKETFUNCTION, handle_socket);
	curl_multi_setopt(sender->multi, CURLMOPT_SOCKETDATA, sender);
	curl_multi_setopt(sender->multi, CURLMOPT_TIMERFUNCTION, handle_timer);
	curl_multi_setopt(sender->multi, CURLMOPT_TIMERDATA, sender);
	curl_multi_setopt(sender->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
	    (long)options->connections);
	curl_multi_setopt(sender->multi, CURLMOPT_MAXCONNECTS,
	    (long)(options->connections * load_options_targets(options)->len));
	return sender;
}

/*
 * Frees a sender that has run. NULL is allowed.
 */
void
sender_free(struct sender *sender)
{
	if (sender == NULL)
		return;
	g_ptr_array_unref(sender->idle);
	curl_multi_cleanup(sender->multi);
	close(sender->epoll);
	result_free(sender->result);
	g_free(sender);
}

/* Returns the time at which a request is due. */
static struct timespec
due_time(const struct sender *sender, size_t index)
{
	double offset_s = (double)index / sender->options->rate;
	double whole_s = floor(offset_s);
	struct timespec due = sender->start;

	due.tv_sec += (time_t)whole_s;
	due.tv_nsec += (long)((offset_s - whole_s) * NS_PER_S);
	if (due.tv_nsec >= NS_PER_S) {
		due.tv_sec++;
		due.tv_nsec -= NS_PER_S;
	}
	return due;
}

static bool
may_send(const struct sender *sender)
{
	return sender->next < sender->plan->count &&
	    sender->in_flight < sender->options->in_flight;
}

static void
send_due(struct sender *sender)
{
	while (may_send(sender)) {
		struct timespec due = due_time(sender, sender->next);
		struct timespec now = clock_now(sender->clock);
		struct call *call;

		if (timespec_before(now, due))
			return;
		call = sender->idle->len > 0
		    ? g_ptr_array_steal_index_fast(
			  sender->idle, sender->idle->len - 1)
		    : call_new();
		call_prepare(
		    call, sender->options, sender->plan, sender->next, due);
		histogram_record(&sender->result->late_us,
		    (uint64_t)timespec_us_between(due, now));
		curl_multi_add_handle(sender->multi, call->easy);
		sender->in_flight++;
		sender->next += sender->stride;
	}
}

static void
finish_call(struct sender *sender, struct call *call, CURLcode code)
{
	struct planned_request *request = &sender->plan->requests[call->index];
	int64_t latency_us =
	    timespec_us_between(call->due, clock_now(sender->clock));
	int64_t due_us = timespec_us_between(sender->start, call->due);

	request->outcome = (uint8_t)call_get_outcome(call, code);
	result_add(sender->result, (size_t)(due_us / US_PER_S), request->kind,
	    request->outcome, (uint64_t)latency_us);
	curl_multi_remove_handle(sender->multi, call->easy);
	g_ptr_array_add(sender->idle, call);
	sender->in_flight--;
}

static void
finish_completed(struct sender *sender)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(sender->multi, &remaining)) !=
	    NULL) {
		CURLcode code = message->data.result;
		struct call *call;

		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish_call(sender, call, code);
	}
}

static struct timespec
time_until(struct timespec now, struct timespec then)
{
	int64_t us = MAX(timespec_us_between(now, then), 0);
	struct timespec remaining = {
		.tv_sec = us / US_PER_S,
		.tv_nsec = (us % US_PER_S) * NS_PER_US,
	};

	return remaining;
}

/*
 * Sleeps until a request is due, a socket is ready or libcurl's timer expires,
 * then lets libcurl handle the ready sockets.
 */
static void
wait_for_work(struct sender *sender)
{
	struct epoll_event events[EVENTS_MAX];
	struct timespec now = clock_now(sender->clock);
	struct timespec until = now;
	struct timespec remaining;
	int count, running;

	until.tv_sec += WAIT_MAX_S;
	if (may_send(sender)) {
		struct timespec due = due_time(sender, sender->next);

		if (timespec_before(due, until))
			until = due;
	}
	if (sender->timer_set && timespec_before(sender->timer_at, until))
		until = sender->timer_at;
	remaining = time_until(now, until);
	count =
	    epoll_pwait2(sender->epoll, events, EVENTS_MAX, &remaining, NULL);
	for (int i = 0; i < count; i++) {
		int ready = 0;

		if (events[i].events & EPOLLIN)
			ready |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLOUT)
			ready |= CURL_CSELECT_OUT;
		if (events[i].events & (EPOLLERR | EPOLLHUP))
			ready |= CURL_CSELECT_ERR;
		curl_multi_socket_action(
		    sender->multi, events[i].data.fd, ready, &running);
	}
}

static void
run_timer(struct sender *sender)
{
	int running;

	if (!sender->timer_set ||
	    timespec_before(clock_now(sender->clock), sender->timer_at))
		return;
	sender->timer_set = false;
	curl_multi_socket_action(
	    sender->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

/*
 * Sends each request when it is due and returns when all have ended.
 */
void
sender_run(struct sender *sender)
{
	prctl(PR_SET_TIMERSLACK, 1UL);
	while (sender->next < sender->plan->count || sender->in_flight > 0) {
		send_due(sender);
		run_timer(sender);
		finish_completed(sender);
		wait_for_work(sender);
		finish_completed(sender);
	}
}
