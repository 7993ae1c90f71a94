namespace currantpost {}
