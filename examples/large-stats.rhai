// Rejects messages of the class stats-push that exceed 20000 bytes, and tags all others with their destination.
// Usage: micaladder --plugins examples
fn on_request(request) {
    if request.class == "stats-push" && request.size > 20000 {
        return "reject";
    }
    #{ tag: "to-" + request.dest }
}

fn on_outcome(request, outcome) {
    print(request.name + " " + request.tags + ": " + outcome);
}
