#include <glib.h>

#include "fleet/workspace.h"

/*
 * Return a zeroed workspace.
 */
struct workspace *
workspace_new(void)
{
	return g_new0(struct workspace, 1);
}

/*
 * Free a workspace. NULL is allowed.
 */
void
workspace_free(struct workspace *workspace)
{
	if (workspace == NULL)
		return;
	g_free(workspace->name);
	g_free(workspace);
}
