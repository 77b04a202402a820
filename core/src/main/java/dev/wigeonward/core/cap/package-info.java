/** Usage caps and retry budgets that several entries share without a message for each request. */
package dev.wigeonward.core.cap;
