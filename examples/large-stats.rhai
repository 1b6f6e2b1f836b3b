// Turns away statistics that are too large, and tags the rest. Try it with --plugins examples.
fn on_request(request) {
    if request.class == "stats-push" && request.size > 20000 {
        return "reject";
    }
    #{ tag: "to-" + request.dest }
}

fn on_outcome(request, outcome) {
    print(request.name + " " + request.tags + ": " + outcome);
}
