/** The configuration in force (routes, services and limits), and the choice of a route and a service for a request. */
package io.carawaylift.decisions.route;
