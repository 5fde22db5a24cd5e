/** Jobs whose tasks occupy resources of workers: their queues, their runs and the results of runs. */
package org.knapweedmount.api.work;
